package org.siskinramp.relay;

import java.util.Optional;

/**
 * A change of the entry of a host.
 *
 * @param name the name of the host
 * @param entry its new entry, or empty if it was removed or is invalid
 */
public record HostChange(String name, Optional<HostEntry> entry) {}
