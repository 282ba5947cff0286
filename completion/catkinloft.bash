# Bash completion of catkinloft: source it, or put it where bash-completion looks.
_catkinloft()
{
    local word=${COMP_WORDS[COMP_CWORD]}
    local commands="router entry check apply rollback history status explain where trace help version"
    local flags="--router= --json --watch --change_id="
    case $word in
    -*) COMPREPLY=($(compgen -W "$flags" -- "$word")) ;;
    *)
        if [ "$COMP_CWORD" = 1 ]; then
            COMPREPLY=($(compgen -W "$commands" -- "$word"))
        else
            COMPREPLY=($(compgen -f -- "$word"))
        fi
        ;;
    esac
}
complete -F _catkinloft catkinloft
