type Fields = Record<string, unknown>

/**
 * Merges a delta of a streamed response into the fields accumulated from earlier deltas: strings are concatenated,
 * list items with an `index` are merged by it, other list items are appended, objects are merged and all other values
 * are replaced. The exceptions are `null`, which never replaces a value, and the strings of `role`, `id` and `type`,
 * which are replaced. These are the rules of the OpenAI API for the contents of `delta` and `logprobs`.
 * @param target accumulated fields; changed in place
 * @param delta fields of the next chunk
 */
export function mergeDelta (target: Fields, delta: Fields): void {
  for (const [name, value] of Object.entries(delta)) {
    const existing = target[name]
    if (value === null || value === undefined) {
      if (existing === undefined) target[name] = value
    } else if (typeof value === 'string' && typeof existing === 'string' && isConcatenated(name)) {
      target[name] = existing + value
    } else if (Array.isArray(value)) {
      target[name] = mergeList(Array.isArray(existing) ? existing : [], value)
    } else if (typeof value === 'object') {
      const merged = isObject(existing) ? existing : {}
      mergeDelta(merged, value as Fields)
      target[name] = merged
    } else {
      target[name] = value
    }
  }
}

// `role`, `id` and `type` are sent whole, not in fragments.
function isConcatenated (name: string): boolean {
  return name !== 'role' && name !== 'id' && name !== 'type'
}

function isObject (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function mergeList (existing: unknown[], added: readonly unknown[]): unknown[] {
  for (const item of added) {
    const index = isObject(item) ? item.index : undefined
    const match = typeof index === 'number' ? existing.find((other) => isObject(other) && other.index === index) : undefined
    if (isObject(match) && isObject(item)) {
      mergeDelta(match, item)
    } else {
      const copy: Fields = {}
      if (isObject(item)) mergeDelta(copy, item)
      existing.push(isObject(item) ? copy : item)
    }
  }
  return existing
}
