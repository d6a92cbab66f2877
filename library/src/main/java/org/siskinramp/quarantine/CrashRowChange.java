package org.siskinramp.quarantine;

import java.util.Optional;

/**
 * Describes a changed row of the crashes table.
 *
 * @param key the key of the crash
 * @param crash the crash, or empty if the row was removed or is invalid
 */
public record CrashRowChange(String key, Optional<Crash> crash) {}
