/**
 * Change tickets, by which operators define services, backend servers, availability zones and
 * hosts.
 *
 * <p>A ticket is accepted by one transaction of the platform's table service. It writes the row
 * {@code tickets/<number>}; a row {@code objects/<kind>/<name>} for each object of the ticket, with
 * the content of the object and the number of its last ticket; and the row {@code
 * configuration/version}, which is incremented on the condition that it is unchanged. All accepted
 * tickets are therefore totally ordered. No row is ever deleted: a removed object keeps its row,
 * and with it the number that a later ticket for the object must exceed.
 *
 * <p><b>Locks.</b> {@link org.siskinramp.ticket.ConfigurationFollower} has one lock; listeners, the
 * platform and the event log are called without it.
 */
package org.siskinramp.ticket;
