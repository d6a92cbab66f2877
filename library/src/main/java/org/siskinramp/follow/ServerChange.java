package org.siskinramp.follow;

import java.util.Optional;
import org.siskinramp.fleet.ServerEntry;

/**
 * A change of the entry of a backend server.
 *
 * @param name the server's name
 * @param entry its new entry, or empty if it was removed or is invalid
 */
public record ServerChange(String name, Optional<ServerEntry> entry) {}
