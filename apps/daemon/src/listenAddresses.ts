/** Advertised addresses of the listeners. They are known once the listeners are bound. */
export interface ListenAddresses {
  caller: string;
  peer: string;
  admin: string;
}
