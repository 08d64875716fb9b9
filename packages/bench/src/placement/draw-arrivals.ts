import { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import type { ArrivalOptions } from './arrival-options.js'
import type { ChatArrival } from './chat-arrival.js'

/** Tokens of a chat's first prompt. */
const OPENING_TOKENS = { least: 150, span: 500 }
/** Tokens of a further user message. */
const MESSAGE_TOKENS = { least: 20, span: 60 }
/** Tokens of an answer. */
const ANSWER_TOKENS = { least: 8, span: 16 }
/** Half of the chats belong to the first workspaces, since a few are large. */
const LARGE_WORKSPACES = 3

/**
 * Draws the turns of chats that begin at random times and return after pauses. The turns' times do not depend
 * on how they are served, so that every policy gets the same ones.
 * @param options what they are drawn from
 * @returns the arrivals in the order of their times
 */
export function drawArrivals (options: ArrivalOptions): ChatArrival[] {
  const random = new SeededRandom(options.seed)
  const arrivals: ChatArrival[] = []
  let chat = 0
  const begin = (at: number, workspace: number): void => {
    drawChat(options, random, chat, workspace, at, arrivals)
    chat += 1
  }
  for (const at of poisson(random, options.chatsPerSecond, -options.historyMs, options.durationMs)) begin(at, drawWorkspace(options, random))
  for (const from of options.surgesAt) {
    const workspace = random.below(options.workspaces)
    for (const at of poisson(random, options.surgeChatsPerSecond, from, from + options.surgeMs)) begin(at, workspace)
  }
  return arrivals.filter((arrival) => arrival.at >= 0 && arrival.at < options.durationMs).sort((left, right) => left.at - right.at)
}

function drawChat (options: ArrivalOptions, random: SeededRandom, chat: number, workspace: number, begin: number, arrivals: ChatArrival[]): void {
  let at = begin
  let promptTokens = between(random, OPENING_TOKENS)
  for (let turn = 0; turn === 0 || random.next() >= 1 / options.meanTurns; turn += 1) {
    const answerTokens = between(random, ANSWER_TOKENS)
    arrivals.push({ at, chat, turn, workspace, promptTokens, answerTokens })
    promptTokens += answerTokens + between(random, MESSAGE_TOKENS)
    at += options.answerMs + exponential(random, options.meanPauseMs)
  }
}

function drawWorkspace (options: ArrivalOptions, random: SeededRandom): number {
  return random.next() < 0.5 ? random.below(Math.min(LARGE_WORKSPACES, options.workspaces)) : random.below(options.workspaces)
}

function poisson (random: SeededRandom, perSecond: number, from: number, to: number): number[] {
  const times: number[] = []
  if (perSecond <= 0) return times
  for (let at = from + exponential(random, 1_000 / perSecond); at < to; at += exponential(random, 1_000 / perSecond)) times.push(at)
  return times
}

function exponential (random: SeededRandom, mean: number): number {
  return -Math.log(1 - random.next()) * mean
}

function between (random: SeededRandom, range: { least: number, span: number }): number {
  return range.least + random.below(range.span)
}
