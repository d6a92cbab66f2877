package org.siskinramp.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.siskinramp.workspace.Workspace;
import org.siskinramp.workspace.WorkspaceTable;

/** Provides the quotas of the configuration in force. Thread-safe. */
public final class QuotaTable {

    private final Supplier<Optional<WorkspaceTable>> workspaces;
    private final QuotaOptions options;
    private volatile Terms current = new Terms(Optional.empty(), Map.of());

    /**
     * Creates a table.
     *
     * @param workspaces returns the workspaces of the configuration in force
     * @param options the bounds of quotas
     */
    public QuotaTable(Supplier<Optional<WorkspaceTable>> workspaces, QuotaOptions options) {
        this.workspaces = workspaces;
        this.options = options;
    }

    /**
     * Finds the quota of a workspace.
     *
     * @param workspace the name of the workspace
     * @return its quota, or empty if its requests are not limited or it is unknown
     */
    public Optional<QuotaTerms> find(String workspace) {
        return Optional.ofNullable(all().get(workspace));
    }

    /**
     * Tells whether any workspace has a quota.
     *
     * @return whether there is at least one
     */
    public boolean hasQuotas() {
        return !all().isEmpty();
    }

    /** Returns the quotas by the names of their workspaces; the same map until one changes. */
    Map<String, QuotaTerms> all() {
        Optional<WorkspaceTable> table = workspaces.get();
        Terms known = current;
        if (known.table.orElse(null) != table.orElse(null)) {
            known = new Terms(table, termsOf(table));
            current = known;
        }
        return known.byWorkspace;
    }

    private Map<String, QuotaTerms> termsOf(Optional<WorkspaceTable> table) {
        Map<String, QuotaTerms> terms = new HashMap<>();
        table.ifPresent(
                known ->
                        known.all().stream()
                                .filter(Workspace::hasQuota)
                                .forEach(
                                        workspace ->
                                                terms.put(
                                                        workspace.name(),
                                                        QuotaTerms.of(workspace, options))));
        return Map.copyOf(terms);
    }

    private record Terms(Optional<WorkspaceTable> table, Map<String, QuotaTerms> byWorkspace) {}
}
