const LENGTH_BYTES = 4

/** Encodes a record of a keyed topic: length, length of the key, key, value. */
export function encodeRecord (key, value) {
  const keyBytes = Buffer.from(key)
  const valueBytes = Buffer.from(value)
  const head = Buffer.alloc(LENGTH_BYTES + 1)
  head.writeUInt32BE(1 + keyBytes.length + valueBytes.length)
  head[LENGTH_BYTES] = keyBytes.length
  return Buffer.concat([head, keyBytes, valueBytes])
}

/** Decodes the records of one append. */
export function decodeRecords (bytes) {
  const records = []
  let position = 0
  while (position < bytes.length) {
    const end = position + LENGTH_BYTES + bytes.readUInt32BE(position)
    const keyStart = position + LENGTH_BYTES + 1
    const keyEnd = keyStart + bytes[keyStart - 1]
    records.push({ key: bytes.toString('utf8', keyStart, keyEnd), value: bytes.toString('utf8', keyEnd, end) })
    position = end
  }
  return records
}
