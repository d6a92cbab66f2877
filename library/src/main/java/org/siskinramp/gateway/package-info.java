/**
 * Serves requests according to the route table: queueing, admission, placement on backend servers,
 * retries and crash detection.
 *
 * <p>This package opens no socket, reads no system clock and never sleeps. All state is guarded by
 * the single lock of {@link org.siskinramp.gateway.Gateway}. While it is held, only locks that are
 * always acquired last may be acquired, such as that of {@link
 * org.siskinramp.quarantine.Quarantine}. Calls that must be made without the lock are collected in
 * {@link org.siskinramp.routing.DeferredActions} and run after it is released.
 */
package org.siskinramp.gateway;
