/** Length of an affinity key in hexadecimal digits (64 bits). */
export const AFFINITY_KEY_DIGITS = 16
