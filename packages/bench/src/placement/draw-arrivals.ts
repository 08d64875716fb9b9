import { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import type { ArrivalOptions } from './arrival-options.js'
import type { ChatArrival } from './chat-arrival.js'

/** Length of a chat's first prompt, in tokens. */
const OPENING_TOKENS = { minimum: 150, span: 500 }
/** Length of each further user message, in tokens. */
const MESSAGE_TOKENS = { minimum: 20, span: 60 }
/** Length of a response, in tokens. */
const RESPONSE_TOKENS = { minimum: 8, span: 16 }
/** Number of large workspaces. Half of the chats belong to these, the other half is spread over all workspaces. */
const LARGE_WORKSPACES = 3

/**
 * Generates the turns of chats that start as a Poisson process and return after random pauses. The times of the
 * turns do not depend on how they are served, so that every placement policy gets the same arrivals.
 * @param options rates and durations to draw from
 * @returns the arrivals in chronological order
 */
export function drawArrivals (options: ArrivalOptions): ChatArrival[] {
  const random = new SeededRandom(options.seed)
  const arrivals: ChatArrival[] = []
  let chat = 0
  const startChat = (at: number, workspace: number): void => {
    drawChat(options, random, chat, workspace, at, arrivals)
    chat += 1
  }
  for (const at of drawPoissonTimes(random, options.chatsPerSecond, -options.historyMs, options.durationMs)) startChat(at, drawWorkspace(options, random))
  for (const from of options.surgeTimes) {
    const workspace = random.below(options.workspaces)
    for (const at of drawPoissonTimes(random, options.surgeChatsPerSecond, from, from + options.surgeMs)) startChat(at, workspace)
  }
  return arrivals.filter((arrival) => arrival.arrivesAt >= 0 && arrival.arrivesAt < options.durationMs).sort((left, right) => left.arrivesAt - right.arrivesAt)
}

function drawChat (options: ArrivalOptions, random: SeededRandom, chat: number, workspace: number, startsAt: number, arrivals: ChatArrival[]): void {
  let at = startsAt
  let promptTokens = drawTokens(random, OPENING_TOKENS)
  for (let turn = 0; turn === 0 || random.next() >= 1 / options.meanTurns; turn += 1) {
    const responseTokens = drawTokens(random, RESPONSE_TOKENS)
    arrivals.push({ arrivesAt: at, chat, turn, workspace, promptTokens, responseTokens })
    promptTokens += responseTokens + drawTokens(random, MESSAGE_TOKENS)
    at += options.responseMs + drawExponential(random, options.meanPauseMs)
  }
}

function drawWorkspace (options: ArrivalOptions, random: SeededRandom): number {
  return random.next() < 0.5 ? random.below(Math.min(LARGE_WORKSPACES, options.workspaces)) : random.below(options.workspaces)
}

function drawPoissonTimes (random: SeededRandom, perSecond: number, from: number, to: number): number[] {
  const times: number[] = []
  if (perSecond <= 0) return times
  for (let at = from + drawExponential(random, 1_000 / perSecond); at < to; at += drawExponential(random, 1_000 / perSecond)) times.push(at)
  return times
}

function drawExponential (random: SeededRandom, mean: number): number {
  return -Math.log(1 - random.next()) * mean
}

function drawTokens (random: SeededRandom, range: { minimum: number, span: number }): number {
  return range.minimum + random.below(range.span)
}
