package org.siskinramp.follow;

import java.util.Optional;
import org.siskinramp.fleet.ServerEntry;

/**
 * Tells the entry of a backend server.
 *
 * @param name the server's name
 * @param entry its entry, or empty if it names no server to use
 */
public record ServerChange(String name, Optional<ServerEntry> entry) {}
