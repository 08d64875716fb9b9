import { z } from 'zod'
import { RouterSettings } from './router-settings.js'

const HEADER = `# Settings

\`mimosarock-router run --settings FILE\` reads an INI file; \`mimosarock-router check --settings FILE\` validates it
and prints the settings in effect. The suffix of a key is its unit: \`_ms\` for milliseconds, \`_bytes\` for bytes.
A key without a default is required. This page is printed by \`mimosarock-router settings\`.
`

interface KeySchema {
  readonly type?: string
  readonly description?: string
  readonly default?: unknown
  readonly minimum?: number
  readonly maximum?: number
  readonly enum?: readonly string[]
  readonly format?: string
  readonly pattern?: string
  readonly minLength?: number
}

function unitOf (key: string): string {
  if (key.endsWith('_ms')) return 'ms'
  if (key.endsWith('_bytes')) return 'bytes'
  return '-'
}

function boundOf (schema: KeySchema): string {
  if (schema.enum !== undefined) return schema.enum.join(' or ')
  if (schema.minimum !== undefined) return `${schema.minimum} to ${schema.maximum}`
  if (schema.format === 'uri') return 'a URL'
  if (schema.pattern?.includes('\\d') === true) return 'IP address and port'
  if (schema.minLength !== undefined) return `at least ${schema.minLength} characters`
  return '-'
}

function defaultOf (schema: KeySchema): string {
  if (schema.default === undefined) return 'required'
  return schema.default === '' ? 'none' : String(schema.default)
}

/** Returns the page docs/SETTINGS.md in Markdown, generated from the schema of the settings. */
export function settingsPage (): string {
  const json = z.toJSONSchema(RouterSettings, { io: 'input', unrepresentable: 'any' })
  const sections = json.properties as Record<string, { properties: Record<string, KeySchema> }>
  const tables = Object.entries(sections).map(([section, { properties }]) => {
    const rows = Object.entries(properties).map(([key, schema]) =>
      `| ${key} | ${unitOf(key)} | ${defaultOf(schema)} | ${boundOf(schema)} | ${schema.description ?? ''} |\n`)
    return `\n## [${section}]\n\n| key | unit | default | bound | meaning |\n| --- | --- | --- | --- | --- |\n${rows.join('')}`
  })
  return HEADER + tables.join('')
}
