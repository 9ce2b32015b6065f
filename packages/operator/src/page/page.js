/**
 * The operators' page: status, table with edits, one program's time line.
 * Every request carries the key as a header, so that no other site can make
 * one; the key is kept for the tab only.
 */
const view = document.getElementById("view");
const message = document.getElementById("message");
const tabs = document.getElementById("tabs");
const KEY_ITEM = "toucantrestle-key";
const IN_FORCE_POLL_MS = 400;
const IN_FORCE_PATIENCE_MS = 15_000;

const VIEWS = { status: showStatus, table: showTable, program: showProgram };

document.getElementById("sign-in").addEventListener("submit", (event) => {
  event.preventDefault();
  sessionStorage.setItem(KEY_ITEM, document.getElementById("key").value);
  open("status");
});
for (const button of tabs.querySelectorAll("button")) {
  button.addEventListener("click", () => open(button.dataset.view));
}
if (sessionStorage.getItem(KEY_ITEM)) open("status");

async function open(name) {
  message.textContent = "";
  try {
    await VIEWS[name]();
    document.getElementById("sign-in").hidden = true;
    tabs.hidden = false;
    for (const button of tabs.querySelectorAll("button")) {
      button.setAttribute("aria-current", String(button.dataset.view === name));
    }
  } catch (err) {
    message.textContent = err.message;
  }
}

async function call(path, body) {
  const res = await fetch(`/v1/operator${path}`, {
    method: body === undefined ? "GET" : "POST",
    headers: {
      authorization: `Bearer ${sessionStorage.getItem(KEY_ITEM)}`,
      "content-type": "application/json",
    },
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  const answer = await res.json();
  if (!res.ok) throw new Error(answer.detail ?? `answer ${res.status}`);
  return answer;
}

function element(name, properties, ...children) {
  const created = Object.assign(document.createElement(name), properties);
  created.append(...children);
  return created;
}

function pairs(entries) {
  const list = element("dl", {});
  for (const [term, value] of entries) {
    list.append(element("dt", {}, term), element("dd", {}, value));
  }
  return list;
}

async function showStatus() {
  const fleet = await call("/status");
  document.getElementById("summary").textContent =
    `revision ${fleet.tableRevision}, ${fleet.hosts.length} hosts`;
  const sections = fleet.hosts.map((host) =>
    element(
      "section",
      { className: host.storeReachable ? "" : "trouble" },
      element("h2", {}, `${host.host} (${host.dataCentre}) ${host.state}`),
      pairs([
        ["revision", String(host.tableRevision)],
        ["shards", String(host.shardsOwned)],
        ["programs", String(host.programs)],
        ["calls", `${host.callsRunning} run, ${host.callsWaiting} wait`],
        ["key-value service", host.storeReachable ? "reachable" : "cut off"],
      ]),
    )
  );
  const silent = fleet.silentHosts.map((host) =>
    element("p", { className: "trouble" }, `${host} does not answer`)
  );
  const idle = new Set(
    fleet.hosts.flatMap((host) =>
      host.upstreams.filter((it) => !it.accepting).map((it) => it.name)
    ),
  );
  const upstreams = [...idle].map((name) =>
    element("p", { className: "trouble" }, `${name} takes no work`)
  );
  view.replaceChildren(...silent, ...upstreams, ...sections);
}

async function showTable() {
  const [table, { kinds }] = await Promise.all([
    call("/table"),
    call("/columns"),
  ]);
  document.getElementById("summary").textContent = `revision ${table.revision}`;
  view.replaceChildren(...table.rows.map((row) => rowSection(row, kinds)));
}

function rowSection(row, kinds) {
  const columns = kinds[row.id.split("/")[0]];
  return element(
    "section",
    {},
    element("h2", {}, row.id),
    pairs(columns.map((column) => {
      const value = row.cells[column.name] ?? column.default;
      const unit = column.unit === undefined ? "" : ` ${column.unit}`;
      const button = element(
        "button",
        { title: column.help, type: "button" },
        `${formatCell(value)}${unit}`,
      );
      button.addEventListener("click", () => editCell(row, column, value));
      return [column.name, button];
    })),
  );
}

function editCell(row, column, seen) {
  const input = element("input", { value: formatCell(seen), id: "new-value" });
  const save = element("button", { type: "submit" }, "Save");
  const cancel = element("button", { type: "button" }, "Cancel");
  const form = element(
    "form",
    {},
    element("h2", {}, `${row.id} ${column.name}`),
    element("p", {}, column.help),
    element("p", {}, `now: ${formatCell(seen)} ${column.unit ?? ""}`),
    input,
    save,
    cancel,
  );
  cancel.addEventListener("click", () => open("table"));
  form.addEventListener("submit", (event) => {
    event.preventDefault();
    saveCell(row, column, { seen, text: input.value });
  });
  view.replaceChildren(form);
  input.focus();
}

async function saveCell(row, column, { seen, text }) {
  try {
    const answer = await call("/table/edits", {
      writeId: crypto.randomUUID(),
      reason: "page",
      changes: [{
        row: row.id,
        column: column.name,
        seen: seen ?? null,
        value: parseCell(column, text),
      }],
    });
    await showTable();
    const warnings = answer.warnings.map((it) => ` Warning: ${it}.`).join("");
    message.textContent = `revision ${answer.revision} is accepted.${warnings}`;
    await followRevision(answer.revision, warnings);
  } catch (err) {
    message.textContent = err.message;
  }
}

/** Shows on how many hosts a revision is in force until it is on all. */
async function followRevision(revision, warnings) {
  const giveUpAt = Date.now() + IN_FORCE_PATIENCE_MS;
  while (Date.now() < giveUpAt) {
    const fleet = await call("/status");
    const all = fleet.hosts.length + fleet.silentHosts.length;
    const inForce = fleet.hosts.filter((it) =>
      it.tableRevision >= revision
    ).length;
    message.textContent =
      `revision ${revision} is in force on ${inForce} of ${all} hosts.${warnings}`;
    if (inForce === all) return;
    await new Promise((resolve) => setTimeout(resolve, IN_FORCE_POLL_MS));
  }
}

function showProgram() {
  const input = element("input", { placeholder: "program id", id: "program" });
  const output = element("pre", {});
  const form = element("form", {}, input, element("button", {}, "Show"));
  form.addEventListener("submit", async (event) => {
    event.preventDefault();
    const query = new URLSearchParams({ program: input.value.trim() });
    try {
      const { events } = await call(`/timeline?${query}`);
      output.textContent = events.map(formatEvent).join("\n") || "no events";
    } catch (err) {
      message.textContent = err.message;
    }
  });
  view.replaceChildren(form, output);
}

function formatEvent(event) {
  const time = new Date(event.stamp.ms).toISOString().slice(11, 23);
  return `${time} ${event.host} ${event.kind} ${event.detail ?? ""}`;
}

function formatCell(value) {
  if (value === undefined) return "-";
  if (Array.isArray(value)) return value.join(",");
  if (typeof value === "boolean") return value ? "yes" : "no";
  return String(value);
}

function parseCell(column, text) {
  if (column.type === "integer" || column.type === "number") {
    return Number(text);
  }
  if (column.type === "flag") return text === "yes" || text === "true";
  if (column.type === "list") {
    return text.split(",").map((it) => it.trim()).filter((it) => it !== "");
  }
  return text;
}
