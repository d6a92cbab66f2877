/** The interface to the platform's transactional table service, object store and host list. */
package org.siskinramp.platform;
