import { expect, test } from 'vitest'
import { AdmissionBound } from '@mimosarock/placement/admission-bound.js'
import { PlacementGoal } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { BoundedRendezvousPolicy } from '../placement/bounded-rendezvous-policy.js'
import { drawArrivals } from '../placement/draw-arrivals.js'
import { OraclePolicy } from '../placement/oracle-policy.js'
import { RendezvousPolicy } from '../placement/rendezvous-policy.js'
import { ReplayedEngine } from '../placement/replayed-engine.js'
import { replayArrivals } from '../placement/replay-arrivals.js'

const engineParameters = { capacity: 32, tokenMs: 100, tokenMsPerRequest: 2, prefillMsPerToken: 0.5, cacheLimitTokens: 80_000 }
const bound = new AdmissionBound(1.25, PlacementGoal.SKEW)
const arrivals = drawArrivals({
  seed: 1, historyMs: 20_000, durationMs: 20_000, chatsPerSecond: 8, meanTurns: 4, responseMs: 2_000, meanPauseMs: 3_000, workspaces: 10, surgeTimes: [10_000], surgeMs: 3_000, surgeChatsPerSecond: 10
})
const replay = { arrivals, engineCount: 5, engineParameters, outages: [{ engine: 2, from: 12_000, to: 14_000 }], bound, sampleMs: 250, warmUpMs: 4_000 }
const turn = { arrivesAt: 0, chat: 1, turn: 0, workspace: 0, promptTokens: 100, responseTokens: 2 }

test('arrivals are deterministic for a seed, in chronological order and include the surge', () => {
  const again = drawArrivals({
    seed: 1, historyMs: 20_000, durationMs: 20_000, chatsPerSecond: 8, meanTurns: 4, responseMs: 2_000, meanPauseMs: 3_000, workspaces: 10, surgeTimes: [10_000], surgeMs: 3_000, surgeChatsPerSecond: 10
  })
  expect(again).toEqual(arrivals)
  expect(arrivals.every((arrival, index) => index === 0 || arrival.arrivesAt >= (arrivals[index - 1]?.arrivesAt ?? 0))).toBe(true)
  const startedChats = (from: number): number => arrivals.filter((arrival) => arrival.turn === 0 && arrival.arrivesAt >= from && arrival.arrivesAt < from + 3_000).length
  expect(startedChats(10_000)).toBeGreaterThan(startedChats(6_000) * 1.5)
})

test('a replayed engine computes requests, caches prompts, evicts chats beyond the cache limit and loses all state in a crash', () => {
  const engine = new ReplayedEngine({ ...engineParameters, cacheLimitTokens: 150 })
  expect(engine.add(turn, 0)).toBe(0)
  engine.advance(199)
  expect(engine.load).toBe(1)
  engine.advance(1_000)
  expect(engine.load).toBe(0)
  expect(engine.add({ ...turn, turn: 1, promptTokens: 120 }, 1_000)).toBe(102)
  engine.add({ ...turn, chat: 2 }, 1_000)
  engine.advance(3_000)
  expect([engine.cachedTokens(1), engine.cachedTokens(2)].filter((tokens) => tokens > 0).length).toBe(1)
  engine.add(turn, 3_000)
  expect(engine.crash()).toEqual([turn])
  expect([engine.load, engine.live]).toEqual([0, false])
})

test('the oracle exceeds the upper bound in less than a quarter as many samples as unbounded rendezvous, and reuses more context than bounded rendezvous', () => {
  const oracle = replayArrivals(new OraclePolicy(bound, engineParameters.capacity), replay)
  const rendezvous = replayArrivals(new RendezvousPolicy(), replay)
  const boundedRendezvous = replayArrivals(new BoundedRendezvousPolicy(bound, engineParameters.capacity, 1_000), replay)
  expect(oracle.shareOverBound).toBeLessThan(rendezvous.shareOverBound / 4)
  expect(oracle.reuse).toBeGreaterThan(boundedRendezvous.reuse)
})
