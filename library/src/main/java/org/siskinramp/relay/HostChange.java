package org.siskinramp.relay;

import java.util.Optional;

/**
 * Tells the entry of a host.
 *
 * @param name the host's name
 * @param entry its entry, or empty if it is gone or cannot be read
 */
public record HostChange(String name, Optional<HostEntry> entry) {}
