/** Hexadecimal digits of an affinity key: 64 bits. */
export const AFFINITY_KEY_DIGITS = 16
