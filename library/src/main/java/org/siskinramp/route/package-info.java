/**
 * The routes that operators set: which host and path lead to which services, and within what
 * limits.
 */
package org.siskinramp.route;
