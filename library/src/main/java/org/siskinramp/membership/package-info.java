/**
 * Decides which slots this entry host may use: the view of all entry hosts, the lease that a
 * majority of them keeps up in memory, and the moves of slots between hosts.
 *
 * <p><b>Authority.</b> A host holds authority while a majority of the view has acknowledged a
 * heartbeat of its present incarnation that it sent less than a lease term ago. An acknowledgement
 * is a promise not to suspect its receiver for a lease term; a suspicion is a promise not to
 * acknowledge the suspected host for a lease term. The two never overlap on one member, and two
 * majorities share a member, so a host with authority is never suspected by a majority. A suspicion
 * counts for its reader from the reader's own heartbeat that the message repeats. A host that
 * started acknowledges and suspects nobody for two lease terms, because it does not know the
 * promises of its earlier incarnation. A new incarnation is acknowledged only when the promise to
 * the old one has run out.
 *
 * <p><b>Owner of a slot.</b> The owner is the first host in the order home, successors that a
 * majority does not suspect. A host that becomes the owner claims the slot. It may use the slot
 * once every other member either said after the start of the claim that it acts on the same
 * versions, or is suspected by a majority, and the longest time limit of a request has passed
 * since. The wait is left out in three cases, in which any other host would have had to wait
 * longer: the host itself held the slot less than a time limit ago and has not released it; the
 * former holder released it to this host alone and proves by repeating a heartbeat that it held the
 * slot less than a time limit ago; or the backend server is new and all members had long acted on
 * equal versions without it.
 *
 * <p><b>Views.</b> A member acknowledges only hosts whose view is not older than its own. A view
 * names the members of the view before it. Until a majority of these is known to have moved on for
 * a lease term, majorities of both views are needed; only then may the next view be written, so
 * that no more than two views are ever in use. A former member that the platform's list has not
 * contained for 30 s counts as stopped.
 *
 * <p><b>Configurations.</b> A member acknowledges a host with an older configuration only for a
 * grace period after it applied a newer one. The bound: once a majority of the view has applied a
 * configuration, a host that does not learn it gets its last acknowledgement before the grace
 * period ends, for a heartbeat sent before then, and so loses authority no later than the grace
 * period plus a lease term (0.5 s + 2 s) after the moment at which the majority was complete. The
 * versions of a view and of a configuration that a host acts on never fall; a heartbeat that says
 * otherwise is counted as a violation and ignored.
 *
 * <p><b>Locks.</b> Each {@link org.siskinramp.membership.Membership} has one lock. It ranks before
 * the routing's locks; messages are sent and listeners are called outside of it.
 */
package org.siskinramp.membership;
