/**
 * The entry point of the library: one entry host, composed of the membership, the routing, the
 * ledger of claims, the change tickets and the journal.
 *
 * <p>Lock order: membership, then one service's router, then the ledger, then the journal. No lock
 * is held while a listener, a future or a link is called.
 */
package org.siskinramp.host;
