package org.siskinramp.daemon.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.AppenderComponentBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;
import org.siskinramp.daemon.settings.Settings;

/** Sets Log4j up for one entry host. */
public final class LogSetup {

    private static final String SIMPLE = "org.apache.logging.log4j.simplelog.";
    private static final String EVENTS_APPENDER = "events";
    private static final String LIBRARIES_APPENDER = "libraries";
    private static final String LIBRARY_MESSAGE =
            "%replace{%m %ex{short.message}}{[\\p{Cntrl}\"\\\\]+}{ }";

    private LogSetup() {}

    /**
     * Writes events to standard output at the level of the settings, and warnings of libraries
     * beside them in the same form.
     *
     * @param host who this entry host is
     * @param log the log settings
     */
    public static void apply(Settings.Host host, Settings.Log log) {
        ConfigurationBuilder<BuiltConfiguration> builder =
                ConfigurationBuilderFactory.newConfigurationBuilder();
        builder.setStatusLevel(Level.ERROR);
        builder.setConfigurationName("siskinramp");
        builder.setShutdownHook("disable");
        builder.add(console(builder, EVENTS_APPENDER, "%m%n%ex{0}"));
        builder.add(console(builder, LIBRARIES_APPENDER, libraryPattern(host)));
        builder.add(
                builder.newLogger(Log4jEventLog.LOGGER_NAME, Level.toLevel(log.level().name()))
                        .addAttribute("additivity", false)
                        .add(builder.newAppenderRef(EVENTS_APPENDER)));
        builder.add(
                builder.newRootLogger(Level.WARN).add(builder.newAppenderRef(LIBRARIES_APPENDER)));
        Configurator.reconfigure(builder.build());
    }

    /**
     * Writes events and warnings of libraries to standard output by Log4j's own simple logger,
     * whose lines begin with the level. It takes effect before the first logger is made, and spares
     * a short-lived host the start of the full logging system.
     *
     * @param log the log settings
     */
    public static void applySimple(Settings.Log log) {
        System.setProperty(
                "log4j2.loggerContextFactory",
                "org.apache.logging.log4j.simple.SimpleLoggerContextFactory");
        System.setProperty(SIMPLE + "logFile", "System.out");
        System.setProperty(SIMPLE + "level", Level.WARN.name());
        System.setProperty(
                SIMPLE + Log4jEventLog.LOGGER_NAME + ".level",
                Level.toLevel(log.level().name()).name());
        System.setProperty(SIMPLE + "showlogname", "false");
        System.setProperty(SIMPLE + "showShortLogname", "false");
    }

    private static AppenderComponentBuilder console(
            ConfigurationBuilder<BuiltConfiguration> builder, String name, String pattern) {
        return builder.newAppender(name, "Console")
                .addAttribute("target", ConsoleAppender.Target.SYSTEM_OUT)
                .add(builder.newLayout("PatternLayout").addAttribute("pattern", pattern));
    }

    private static String libraryPattern(Settings.Host host) {
        return "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z'}{UTC} level=%p{lowerCase=true} host="
                + host.name()
                + " availability_zone="
                + host.availabilityZone()
                + " event=library logger=%c message=\""
                + LIBRARY_MESSAGE
                + "\"%n%ex{0}";
    }
}
