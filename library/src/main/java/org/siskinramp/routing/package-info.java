/**
 * Sends each request to a backend server through a slot that this host holds or has borrowed.
 *
 * <p>All state of one service is guarded by the lock of its {@link
 * org.siskinramp.routing.ServiceRouter}. What has to happen outside, such as sending or completing
 * a future, is collected as {@link org.siskinramp.routing.Effects} and runs after the lock is
 * released. The lock ranks behind the membership's and before the ledger's and the journal's.
 */
package org.siskinramp.routing;
