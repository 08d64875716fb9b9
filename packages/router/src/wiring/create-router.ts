import { HttpLogService } from '@mimosarock/coordination/http-log-service.js'
import { HttpVmList } from '@mimosarock/coordination/http-vm-list.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import { RouterProcess } from './router-process.js'
import type { RouterSettings } from '../settings/router-settings.js'
import type { StoppableRouter } from './stoppable-router.js'

/**
 * Creates a router that accesses the platform's services over HTTP. Does not start it.
 * @param settings validated settings
 * @param eventLog receives the router's events
 */
export function createRouter (settings: RouterSettings, eventLog: EventLog): StoppableRouter {
  const traffic = new TrafficCounter()
  return new RouterProcess({
    settings,
    traffic,
    logService: new HttpLogService(settings.platform.log_service_url, traffic),
    vmList: new HttpVmList(settings.platform.vm_list_url, '', traffic),
    clock: new SystemClock(),
    eventLog
  })
}
