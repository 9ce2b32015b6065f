/** The part of the WebAssembly interface that this package uses. */
declare namespace WebAssembly {
  class Module {
    constructor(bytes: Uint8Array);
  }
  class Instance {
    readonly exports: Record<string, unknown>;
    constructor(module: Module, imports: Record<string, object>);
  }
  class Memory {
    readonly buffer: ArrayBuffer;
  }
}
