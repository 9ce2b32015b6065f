/** Told what the connections to one upstream show about the way there. */
export interface ContactListener {
  onConnected(): void;
  onConnectFailed(): void;
  /** Bytes have arrived. */
  onReceived(): void;
}
