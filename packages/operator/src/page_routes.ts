import type { HttpRoute } from "@toucantrestle/http";
import { readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

/** Static file of the operators' page. */
interface PageFile {
  path: string;
  file: string;
  contentType: string;
}

const PAGE_FILES: PageFile[] = [
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

/**
 * The page files are served from the source folder because the build does not
 * copy them to `dist`.
 */
const PAGE_FOLDER = join(
  dirname(fileURLToPath(import.meta.url)),
  "..",
  "..",
  "src",
  "page",
);

/**
 * Returns the routes of the operators' page. They require no key because the
 * files contain no data: the page fetches all data through the operators' API,
 * which requires a key.
 */
export function pageRoutes(): HttpRoute[] {
  return PAGE_FILES.map(({ path, file, contentType }) => {
    const text = readFileSync(join(PAGE_FOLDER, file), "utf8");
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
