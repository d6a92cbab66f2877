package org.siskinramp.workspace;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Holds all workspaces of one version of the configuration. Immutable. */
public final class WorkspaceTable {

    private final Map<String, Workspace> byName = new LinkedHashMap<>();
    private final Map<KeyDigest, Workspace> byKey = new HashMap<>();

    /**
     * Creates a table.
     *
     * @param workspaces the workspaces
     * @throws IllegalArgumentException if two workspaces have the same name or share a key
     */
    public WorkspaceTable(Collection<Workspace> workspaces) {
        for (Workspace workspace : workspaces) {
            if (byName.put(workspace.name(), workspace) != null) {
                throw new IllegalArgumentException(
                        "workspace " + workspace.name() + " is defined twice");
            }
            for (KeyDigest key : workspace.keys()) {
                Workspace other = byKey.put(key, workspace);
                if (other != null && !other.name().equals(workspace.name())) {
                    throw new IllegalArgumentException(
                            "workspaces "
                                    + other.name()
                                    + " and "
                                    + workspace.name()
                                    + " share a key");
                }
            }
        }
    }

    /**
     * Finds the workspace that holds a key.
     *
     * @param key the digest of the key
     * @return the workspace, or empty if no workspace holds the key
     */
    public Optional<Workspace> findByKey(KeyDigest key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /**
     * Finds a workspace by its name.
     *
     * @param name the name
     * @return the workspace
     */
    public Optional<Workspace> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /**
     * Returns the workspaces.
     *
     * @return all workspaces, in the order of the configuration
     */
    public List<Workspace> all() {
        return List.copyOf(byName.values());
    }
}
