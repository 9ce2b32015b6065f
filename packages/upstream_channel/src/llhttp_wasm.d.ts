/** WebAssembly build of llhttp, the parser of Node.js, as undici ships it. */
declare module "undici/lib/llhttp/llhttp-wasm.js" {
  const bytes: Buffer;
  export default bytes;
}
