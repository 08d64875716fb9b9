type Fields = Record<string, unknown>

/**
 * Merges a delta of a streamed answer into what came before: texts are joined, numbered lists are merged item by
 * item, other lists are appended, objects are merged, anything else is replaced. That is how the OpenAI interface
 * defines the parts of `delta` and `logprobs`.
 * @param target what came before; changed in place
 * @param delta the next part
 */
export function mergeDelta (target: Fields, delta: Fields): void {
  for (const [name, value] of Object.entries(delta)) {
    const known = target[name]
    if (value === null || value === undefined) {
      if (known === undefined) target[name] = value
    } else if (typeof value === 'string' && typeof known === 'string' && isJoined(name)) {
      target[name] = known + value
    } else if (Array.isArray(value)) {
      target[name] = mergeList(Array.isArray(known) ? known : [], value)
    } else if (typeof value === 'object') {
      const merged = isFields(known) ? known : {}
      mergeDelta(merged, value as Fields)
      target[name] = merged
    } else {
      target[name] = value
    }
  }
}

// Names whose texts are told once, not in parts.
function isJoined (name: string): boolean {
  return name !== 'role' && name !== 'id' && name !== 'type'
}

function isFields (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function mergeList (known: unknown[], added: readonly unknown[]): unknown[] {
  for (const item of added) {
    const index = isFields(item) ? item.index : undefined
    const match = typeof index === 'number' ? known.find((other) => isFields(other) && other.index === index) : undefined
    if (isFields(match) && isFields(item)) {
      mergeDelta(match, item)
    } else {
      const copy: Fields = {}
      if (isFields(item)) mergeDelta(copy, item)
      known.push(isFields(item) ? copy : item)
    }
  }
  return known
}
