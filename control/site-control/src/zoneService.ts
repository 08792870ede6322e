import type {SiteState} from '@medlarlane/site-state';
import type {ReportRequest, ReportResponse} from './reports.js';

type ZoneState = Pick<SiteState, 'evacuatedZones' | 'evacuationIndex'>;

/** Whether the daemon has to be told about a change of the evacuated zones. */
export function lacksEvacuation(
  {evacuationIndex}: ZoneState,
  report: Pick<ReportRequest, 'evacuationIndex'>,
): boolean {
  return report.evacuationIndex !== undefined && report.evacuationIndex < evacuationIndex;
}

/** Returns the field of a response that tells the daemon about the evacuated zones. */
export function evacuationUpdate(
  state: ZoneState,
  report: Pick<ReportRequest, 'evacuationIndex'>,
): Pick<ReportResponse, 'evacuation'> {
  if (!lacksEvacuation(state, report)) return {};
  return {evacuation: {index: state.evacuationIndex, zones: [...state.evacuatedZones.keys()]}};
}

/** Whether the target is out of service because of an evacuation, so that it gets no keys. */
export function isOutOfService(
  {evacuatedZones}: ZoneState,
  {availabilityZone, target}: Pick<ReportRequest, 'availabilityZone' | 'target'>,
): boolean {
  return evacuatedZones.has(availabilityZone) || target?.isEvacuated === true;
}

/**
 * Whether the daemon knew of the current evacuation of its zone when it built the report. Only then does
 * a report without held keys mean that the daemon grants none until it learns of the return. A report of
 * an earlier evacuation that arrives late has a lower index than the zone.
 */
export function followsEvacuation(
  {evacuatedZones}: ZoneState,
  {availabilityZone, evacuationIndex}: Pick<ReportRequest, 'availabilityZone' | 'evacuationIndex'>,
): boolean {
  const zoneIndex = evacuatedZones.get(availabilityZone);
  return zoneIndex !== undefined && (evacuationIndex ?? -1) >= zoneIndex;
}
