/**
 * Decides which slots this entry host may use. It follows the view (the versioned list of all entry
 * hosts), keeps a lease that a majority of the view renews in memory, and moves slots between
 * hosts.
 *
 * <p><b>Authority.</b> A host has authority while a majority of the view has acknowledged a
 * heartbeat of its present incarnation that it sent less than a lease term ago. An acknowledgement
 * is a promise not to suspect its receiver for a lease term; a suspicion is a promise not to
 * acknowledge the suspected host for a lease term. The two promises of one member about one host
 * never overlap, and any two majorities share a member, so a majority never suspects a host that
 * has authority. The receiver of a suspicion counts its lease term from the time at which it sent
 * the heartbeat that the same message acknowledges. After its start a host neither acknowledges nor
 * suspects any host for two lease terms, because it does not know the promises of its earlier
 * incarnation. A member acknowledges a new incarnation of a host only when its promise to the
 * earlier one has expired.
 *
 * <p><b>Owner of a slot.</b> The order of a slot is its home, then its successors. The owner is the
 * first host in this order that is not suspected by a majority. A host that becomes the owner
 * claims the slot. It may use the slot once each other member either has reported, after the claim
 * started, that it acts on the same versions, or is suspected by a majority, and the longest time
 * limit of a request has passed since then. The owner need not wait for the time limit in three
 * cases, in which any other host would have had to wait longer: this host itself held the slot less
 * than a time limit ago and has not released it; the former holder released it to this host alone,
 * and the heartbeat that its message acknowledges proves that it held the slot less than a time
 * limit ago; or the backend server is new, and all members had acted on equal versions without it
 * for longer than the time limit.
 *
 * <p><b>Views.</b> A member acknowledges only hosts whose view is not older than its own. A view
 * names the members of the previous view. The view is settled once a majority of the previous
 * members is known to have used the new view for a lease term. Until then authority and suspicion
 * need majorities of both views. The next view may be written only when the present one is settled,
 * so that at most two views are in use at any time. A member or former member that has been missing
 * from the platform's list of hosts for 30 s counts as stopped.
 *
 * <p><b>Configurations.</b> A member acknowledges a host with an older configuration only for a
 * grace period after it applied a newer one. Once a majority of the view has applied a
 * configuration, a host that cannot obtain it receives its last acknowledgement before the grace
 * period ends, for a heartbeat that it sent before then. It therefore loses authority no later than
 * the grace period plus a lease term (0.5 s + 2 s) after the majority was complete. The view and
 * configuration versions of an incarnation never decrease; a heartbeat with a lower version is
 * counted as an invariant violation and ignored.
 *
 * <p><b>Locks.</b> Each {@link org.siskinramp.membership.Membership} has one lock, which is
 * acquired before the locks of the routing. Messages are sent and listeners are called without it.
 */
package org.siskinramp.membership;
