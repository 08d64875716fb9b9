/**
 * Part of the time within which a version of the configuration has to be in force that may have passed when the first router knows of it, in milliseconds.
 */
export const ACKNOWLEDGEMENT_ALLOWANCE_MS = 400
