import { envName, type SettingDef, type SettingDefs } from "./mod.ts";

/** Formats the settings reference of a program as a Markdown page. */
export function formatReference<T>(
  name: string,
  defs: SettingDefs<T>,
): string {
  const items = Object.values<SettingDef>(defs).map(formatItem);
  return `# Settings of ${name}

A flag goes before its variable. An unknown or bad one stops the start with one
line and status 2.

${items.join("\n")}
`;
}

function formatItem(def: SettingDef): string {
  const suffix = def.defaultText === undefined
    ? ""
    : ` Default: ${def.defaultText}.`;
  return `- \`--${def.flag}\`, \`${
    envName(def.flag)
  }\`\\\n  ${def.help}.${suffix}`;
}
