/**
 * The settings of an entry host or a gateway, which {@link
 * org.siskinramp.daemon.settings.SettingsFile} reads from a TOML file and validates.
 */
package org.siskinramp.daemon.settings;
