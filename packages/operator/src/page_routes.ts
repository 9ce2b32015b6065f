import type { HttpRoute } from "@toucantrestle/http";
import { readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

/** A file of the page. */
interface PageFile {
  path: string;
  file: string;
  contentType: string;
}

const FILES: PageFile[] = [
  { path: "/", file: "page.html", contentType: "text/html; charset=utf-8" },
  { path: "/page/style.css", file: "style.css", contentType: "text/css" },
  { path: "/page/page.js", file: "page.js", contentType: "text/javascript" },
];

const SECURITY_HEADERS = {
  "content-security-policy":
    "default-src 'self'; frame-ancestors 'none'; form-action 'self'",
  "x-content-type-options": "nosniff",
  "referrer-policy": "no-referrer",
  "cache-control": "no-cache",
};

/** The files stand beside the sources, which are not compiled. */
const FOLDER = join(
  dirname(fileURLToPath(import.meta.url)),
  "..",
  "..",
  "src",
  "page",
);

/** Routes of the operators' page. It holds no data; the key brings that. */
export function pageRoutes(): HttpRoute[] {
  return FILES.map(({ path, file, contentType }) => {
    const text = readFileSync(join(FOLDER, file), "utf8");
    return {
      method: "GET",
      path,
      role: "none",
      handler: ({ res }) => {
        res.writeHead(200, {
          ...SECURITY_HEADERS,
          "content-type": contentType,
        });
        res.end(text);
      },
    };
  });
}
