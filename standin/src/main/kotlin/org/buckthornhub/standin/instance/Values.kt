package org.buckthornhub.standin.instance

import kotlinx.collections.immutable.PersistentMap

/** Returns these values after the execution of [command]; a read does not change them. */
internal fun PersistentMap<String, String>.after(command: Command): PersistentMap<String, String> = when (command) {
    is Command.Get -> this
    is Command.Put -> put(command.key, command.value)
    is Command.Insert -> put(command.key, command.value)
    is Command.Append -> put(command.key, listOfNotNull(this[command.key], command.value).joinToString(","))
}

/** Returns the first key that already exists when an insert of [commands] runs, in order; null if there is none. */
internal fun PersistentMap<String, String>.firstExistingKey(commands: List<Command>): String? {
    commands.fold(this) { values, command ->
        if (command is Command.Insert && command.key in values) return command.key
        values.after(command)
    }
    return null
}
