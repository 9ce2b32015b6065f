import { envName, type SettingDef, type SettingDefs } from "./mod.ts";

/** Formats the settings reference of a program as a Markdown page. */
export function formatReference<T>(
  name: string,
  defs: SettingDefs<T>,
): string {
  const items = Object.values<SettingDef>(defs).map(formatItem);
  return `# Settings of ${name}

Each setting can be given as a flag or as an environment variable. A flag takes
precedence over its environment variable. If a flag is unknown or a value is
invalid, the program prints one line to stderr and exits with status 2.

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
