/**
 * The platform's transactional table service, object store and host list, as the decisions see
 * them.
 */
package org.siskinramp.platform;
