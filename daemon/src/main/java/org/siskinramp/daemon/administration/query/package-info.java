/** Queries of operators and support engineers, which change nothing. */
package org.siskinramp.daemon.administration.query;
