/**
 * The administration API: its server, its routes and its token. What it does is split into {@link
 * org.siskinramp.daemon.administration.command} and {@link
 * org.siskinramp.daemon.administration.query}.
 */
package org.siskinramp.daemon.administration;
