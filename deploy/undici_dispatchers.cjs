/**
 * The part of undici that the platform's program uses: connections to HTTP/1.1
 * servers and their errors.
 *
 * @module
 */
const api = require("../node_modules/undici/lib/api/index.js");
const Dispatcher = require(
  "../node_modules/undici/lib/dispatcher/dispatcher.js",
);

// The library's own entry point adds the methods of a dispatcher in this way.
Object.assign(Dispatcher.prototype, api);

exports.Client = require("../node_modules/undici/lib/dispatcher/client.js");
exports.Pool = require("../node_modules/undici/lib/dispatcher/pool.js");
exports.errors = require("../node_modules/undici/lib/core/errors.js");
