/** The queries of the administration API, which do not change state. */
package org.siskinramp.daemon.administration.query;
