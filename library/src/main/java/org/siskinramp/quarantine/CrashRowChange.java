package org.siskinramp.quarantine;

import java.util.Optional;

/**
 * Describes a changed row of the table of crashes.
 *
 * @param key the key of the crash
 * @param crash the crash, or empty if the row is gone or cannot be read
 */
public record CrashRowChange(String key, Optional<Crash> crash) {}
