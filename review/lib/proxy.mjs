/** A TCP proxy between two controllers that can be cut: nothing passes it then, and nobody is told. */
import * as net from 'node:net';
import { HOST } from './wire.mjs';

export class Proxy {
  cut = false;
  sockets = new Set();
  /** Sockets of which bytes were lost while the proxy was cut. */
  broken = new Set();

  async listen(port, targetPort) {
    this.server = net.createServer((incoming) => this.connect(incoming, targetPort));
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, HOST, resolve);
    });
  }
  connect(incoming, targetPort) {
    if (this.cut) {
      this.track(incoming);
      this.broken.add(incoming);
      incoming.resume();
      return;
    }
    const outgoing = net.connect(targetPort, HOST);
    this.pass(incoming, outgoing);
    this.pass(outgoing, incoming);
  }
  track(socket) {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => this.sockets.delete(socket));
  }
  pass(from, to) {
    this.track(from);
    from.on('data', (bytes) => {
      if (this.cut) this.broken.add(from).add(to);
      else if (!this.broken.has(from)) to.write(bytes);
    });
    from.once('close', () => {
      if (!this.cut) to.destroy();
    });
  }
  /** Lets connections pass again; those that lost bytes are reset. */
  mend() {
    this.cut = false;
    for (const socket of this.broken) socket.destroy();
    this.broken.clear();
  }
  close() {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}
