package org.siskinramp.peer;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.function.ToIntFunction;
import org.siskinramp.workspace.Workspace;

/**
 * Estimates the size of a difference between route tables in a message. The estimate assumes the
 * largest encoding of the fields that are usually small, so that it exceeds the actual size.
 */
public final class RouteTableDeltaSize {

    /** The digest, versions, age, limits and list lengths. */
    private static final int FIXED_BYTES = 100;

    /** Two flags, and four numbers below 2^32 of 5 bytes each. */
    private static final int ROUTE_NUMBER_BYTES = 22;

    /** A weight and the header of the share. */
    private static final int SHARE_NUMBER_BYTES = 6;

    /** The connection limit and the cold rate. */
    private static final int SERVICE_NUMBER_BYTES = 15;

    /** The rank, the rate and the burst. */
    private static final int WORKSPACE_NUMBER_BYTES = 24;

    private static final int KEY_BYTES = 19;
    private static final int TEXT_HEADER_BYTES = 3;

    private RouteTableDeltaSize() {}

    /**
     * Estimates the size of a difference.
     *
     * @param delta the difference
     * @return at least the bytes that it takes up in a message
     */
    public static int estimateBytes(RouteTableDelta delta) {
        return FIXED_BYTES
                + sum(delta.changedRoutes(), RouteTableDeltaSize::bytesOf)
                + sum(delta.removedRoutes(), path -> text(path.host()) + text(path.prefix()) + 1)
                + sum(
                        delta.changedServices(),
                        service ->
                                SERVICE_NUMBER_BYTES
                                        + text(service.name())
                                        + text(service.healthPath()))
                + sum(delta.removedServices(), RouteTableDeltaSize::text)
                + sum(delta.changedWorkspaces(), RouteTableDeltaSize::bytesOf)
                + sum(delta.removedWorkspaces(), RouteTableDeltaSize::text);
    }

    private static int bytesOf(RouteLine route) {
        return ROUTE_NUMBER_BYTES
                + text(route.name())
                + text(route.host())
                + text(route.prefix())
                + sum(route.shares(), share -> SHARE_NUMBER_BYTES + text(share.service()));
    }

    private static int bytesOf(Workspace workspace) {
        return WORKSPACE_NUMBER_BYTES
                + text(workspace.name())
                + workspace.keys().size() * KEY_BYTES;
    }

    private static int text(String value) {
        return TEXT_HEADER_BYTES + value.getBytes(StandardCharsets.UTF_8).length;
    }

    private static <T> int sum(Collection<T> items, ToIntFunction<T> bytes) {
        return items.stream().mapToInt(bytes).sum();
    }
}
