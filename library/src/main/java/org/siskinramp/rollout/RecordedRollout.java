package org.siskinramp.rollout;

import java.util.Optional;

/**
 * What was read of the rows of an order's service.
 *
 * @param rolloutRecord the state of the last order, or empty if there was none or it is malformed
 * @param recordVersion the version of its row, 0 if there is none
 * @param statusVersion the version of the status row, 0 if there is none
 * @param isStatusCurrent whether the status row says the same as the record
 */
public record RecordedRollout(
        Optional<RolloutRecord> rolloutRecord,
        long recordVersion,
        long statusVersion,
        boolean isStatusCurrent) {}
