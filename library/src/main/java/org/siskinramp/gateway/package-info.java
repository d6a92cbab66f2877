/**
 * Serves requests by routes: how they wait, where they are placed, when they are turned away.
 *
 * <p>Nothing here opens a socket, reads a clock or sleeps. All state is guarded by the one lock of
 * {@link org.siskinramp.gateway.Gateway}, which is taken before no other lock; what has to happen
 * outside is collected in {@link org.siskinramp.routing.Effects} and run after its release.
 */
package org.siskinramp.gateway;
