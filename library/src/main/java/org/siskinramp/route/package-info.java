/**
 * The routes that operators configure: they map the host and path of a request to services, and set
 * limits.
 */
package org.siskinramp.route;
