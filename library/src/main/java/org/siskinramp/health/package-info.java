/** How fast and how reliably each backend server answers, as this host saw it. */
package org.siskinramp.health;
