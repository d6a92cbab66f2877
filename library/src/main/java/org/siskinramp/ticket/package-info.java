/**
 * Change tickets: how operators describe services, backend servers, availability zones and hosts.
 *
 * <p>A ticket is one transaction of the table service: the row {@code tickets/<number>}, one row
 * {@code objects/<kind>/<name>} for each object it touches, with the object's content and the
 * number of its last ticket, and the row {@code configuration/version}, whose condition puts all
 * accepted tickets in one order. No row is ever deleted; a removed object keeps its row, and with
 * it the number that a later ticket must exceed.
 *
 * <p>Locks: {@code ConfigurationFollower} has one; nothing is called while it is held.
 */
package org.siskinramp.ticket;
