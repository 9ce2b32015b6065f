/** A host name or address, IPv6 in brackets, and a port. */
const ADDRESS = /^(?:\[[\da-f:.]+\]|[\w.-]+):(\d{1,5})$/i;
const MAX_PORT = 65_535;

/** Whether a text is an address, `HOST:PORT`, that a link can be dialled at. */
export function isLinkAddress(text: string): boolean {
  const port = Number(ADDRESS.exec(text)?.[1] ?? 0);
  return port > 0 && port <= MAX_PORT && URL.canParse(`ws://${text}`);
}
