/**
 * Routes each request to a backend server in a slot that this host holds or has borrowed. A slot is
 * the right to have one request in progress on a server.
 *
 * <p>All state of one service is guarded by the lock of its {@link
 * org.siskinramp.routing.ServiceRouter}. Actions that must not run under the lock, such as sending
 * a message or completing a future, are collected in {@link org.siskinramp.routing.DeferredActions}
 * and run after the lock is released. Lock order: the lock of the membership, then this one, then
 * those of the ledger and the journal.
 */
package org.siskinramp.routing;
