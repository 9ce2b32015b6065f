/**
 * Operators' page: fleet status, editable table and timeline of one program.
 * Each request sends the key in a header, which prevents cross-site request
 * forgery. The key is stored for the browser tab session only.
 */
const view = document.getElementById("view");
const message = document.getElementById("message");
const tabs = document.getElementById("tabs");
const KEY_ITEM = "toucantrestle-key";
const IN_FORCE_POLL_INTERVAL_MS = 400;
const IN_FORCE_TIMEOUT_MS = 15_000;

const VIEWS = { status: showStatus, table: showTable, program: showProgram };

document.getElementById("sign-in").addEventListener("submit", (event) => {
  event.preventDefault();
  sessionStorage.setItem(KEY_ITEM, document.getElementById("key").value);
  openView("status");
});
for (const button of tabs.querySelectorAll("button")) {
  button.addEventListener("click", () => openView(button.dataset.view));
}
if (sessionStorage.getItem(KEY_ITEM)) openView("status");

async function openView(name) {
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

async function callApi(path, body) {
  const res = await fetch(`/v1/operator${path}`, {
    method: body === undefined ? "GET" : "POST",
    headers: {
      authorization: `Bearer ${sessionStorage.getItem(KEY_ITEM)}`,
      "content-type": "application/json",
    },
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  const json = await res.json();
  if (!res.ok) throw new Error(json.detail ?? `HTTP status ${res.status}`);
  return json;
}

function element(name, properties, ...children) {
  const node = Object.assign(document.createElement(name), properties);
  node.append(...children);
  return node;
}

function definitionList(entries) {
  const list = element("dl", {});
  for (const [term, value] of entries) {
    list.append(element("dt", {}, term), element("dd", {}, value));
  }
  return list;
}

async function showStatus() {
  const fleet = await callApi("/status");
  document.getElementById("summary").textContent =
    `revision ${fleet.tableRevision}, ${fleet.hosts.length} hosts`;
  const sections = fleet.hosts.map((host) =>
    element(
      "section",
      { className: host.storeReachable ? "" : "trouble" },
      element("h2", {}, `${host.host} (${host.dataCentre}) ${host.state}`),
      definitionList([
        ["revision", String(host.tableRevision)],
        ["shards", String(host.shardsOwned)],
        ["programs", String(host.programs)],
        ["calls", `${host.callsRunning} running, ${host.callsWaiting} queued`],
        [
          "key-value service",
          host.storeReachable ? "reachable" : "unreachable",
        ],
      ]),
    )
  );
  const silentHosts = fleet.silentHosts.map((host) =>
    element("p", { className: "trouble" }, `${host} does not respond`)
  );
  const notAccepting = new Set(
    fleet.hosts.flatMap((host) =>
      host.upstreams.filter((it) => !it.accepting).map((it) => it.name)
    ),
  );
  const upstreams = [...notAccepting].map((name) =>
    element("p", { className: "trouble" }, `${name} accepts no calls`)
  );
  view.replaceChildren(...silentHosts, ...upstreams, ...sections);
}

async function showTable() {
  const [table, { kinds }] = await Promise.all([
    callApi("/table"),
    callApi("/columns"),
  ]);
  document.getElementById("summary").textContent = `revision ${table.revision}`;
  view.replaceChildren(
    ...table.rows.map((row) => createRowSection(row, kinds)),
  );
}

function createRowSection(row, kinds) {
  const columns = kinds[row.id.split("/")[0]];
  return element(
    "section",
    {},
    element("h2", {}, row.id),
    definitionList(columns.map((column) => {
      const value = row.cells[column.name] ?? column.default;
      const unit = column.unit === undefined ? "" : ` ${column.unit}`;
      const button = element(
        "button",
        { title: column.help, type: "button" },
        `${formatCell(value)}${unit}`,
      );
      button.addEventListener("click", () => showCellForm(row, column, value));
      return [column.name, button];
    })),
  );
}

function showCellForm(row, column, seen) {
  const input = element("input", { value: formatCell(seen), id: "new-value" });
  const save = element("button", { type: "submit" }, "Save");
  const cancel = element("button", { type: "button" }, "Cancel");
  const form = element(
    "form",
    {},
    element("h2", {}, `${row.id} ${column.name}`),
    element("p", {}, column.help),
    element("p", {}, `current value: ${formatCell(seen)} ${column.unit ?? ""}`),
    input,
    save,
    cancel,
  );
  cancel.addEventListener("click", () => openView("table"));
  form.addEventListener("submit", (event) => {
    event.preventDefault();
    saveCell(row, column, { seen, text: input.value });
  });
  view.replaceChildren(form);
  input.focus();
}

async function saveCell(row, column, { seen, text }) {
  try {
    const result = await callApi("/table/edits", {
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
    const warnings = result.warnings.map((it) => ` Warning: ${it}.`).join("");
    message.textContent =
      `revision ${result.revision} was accepted.${warnings}`;
    await showRolloutProgress(result.revision, warnings);
  } catch (err) {
    message.textContent = err.message;
  }
}

/**
 * Polls the fleet status and displays on how many hosts a revision is in force.
 * Returns when it is in force on all hosts or after the timeout.
 */
async function showRolloutProgress(revision, warnings) {
  const deadline = Date.now() + IN_FORCE_TIMEOUT_MS;
  while (Date.now() < deadline) {
    const fleet = await callApi("/status");
    const hostCount = fleet.hosts.length + fleet.silentHosts.length;
    const inForceCount = fleet.hosts.filter((it) =>
      it.tableRevision >= revision
    ).length;
    message.textContent =
      `revision ${revision} is in force on ${inForceCount} of ${hostCount} hosts.${warnings}`;
    if (inForceCount === hostCount) return;
    await new Promise((resolve) =>
      setTimeout(resolve, IN_FORCE_POLL_INTERVAL_MS)
    );
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
      const { events } = await callApi(`/timeline?${query}`);
      output.textContent = events.map(formatEvent).join("\n") ||
        "no events for this program";
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
