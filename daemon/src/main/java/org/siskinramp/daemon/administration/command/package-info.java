/** The commands of the administration API, which change state. */
package org.siskinramp.daemon.administration.command;
