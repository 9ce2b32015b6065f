/**
 * The part of prom-client that the platform's program uses. The rest loads
 * modules for clusters and for statistics of the process.
 *
 * @module
 */
exports.Registry = require("../node_modules/prom-client/lib/registry.js");
exports.Counter = require("../node_modules/prom-client/lib/counter.js");
exports.Gauge = require("../node_modules/prom-client/lib/gauge.js");
exports.Histogram = require("../node_modules/prom-client/lib/histogram.js");
