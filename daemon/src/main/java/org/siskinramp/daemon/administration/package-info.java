/**
 * The HTTP server of the administration API. What the API offers is split into commands, which
 * change state ({@link org.siskinramp.daemon.administration.command}), and queries ({@link
 * org.siskinramp.daemon.administration.query}).
 */
package org.siskinramp.daemon.administration;
